// A rule of the linter: a function declared inside another stands before its first use, so that it is read before it runs.

export default {
  meta: {
    type: "suggestion",
    docs: { description: "require inner functions to be declared before they are used" },
    messages: { late: "'{{name}}' is used above its declaration: move it up, or make it a short arrow function." },
    schema: [],
  },
  create(context) {
    const { sourceCode } = context;
    return {
      FunctionDeclaration(node) {
        if (node.id === null || node.parent.type !== "BlockStatement") return;
        const [variable] = sourceCode.getDeclaredVariables(node);
        const isUsedAbove = variable.references.some((reference) => reference.identifier.range[0] < node.range[0]);
        if (isUsedAbove) context.report({ node: node.id, messageId: "late", data: { name: node.id.name } });
      },
    };
  },
};
