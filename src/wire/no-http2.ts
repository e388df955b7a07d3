// Stands in for node:http2 in the build: our connections speak HTTP/1.1 only, and loading it costs each start.
export const constants = {};
