// Stands in for node:http2 in the build: our connections speak HTTP/1.1 only, and loading it costs each start.
/** What the library reads of HTTP/2 while it loads. */
export const constants = {};
