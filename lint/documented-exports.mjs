// A rule of the linter: each exported declaration has a doc comment right before it, and each module begins with a comment.

function hasDocComment(sourceCode, node) {
  const comments = sourceCode.getCommentsBefore(node);
  const last = comments.at(-1);
  return last !== undefined && last.type === "Block" && last.value.startsWith("*");
}

export default {
  meta: {
    type: "suggestion",
    docs: { description: "require doc comments on exports and a comment at the head of each module" },
    messages: { missing: "This export has no doc comment.", head: "This module does not begin with a comment that says what it is for." },
    schema: [],
  },
  create(context) {
    const { sourceCode } = context;
    return {
      Program(node) {
        if (sourceCode.getAllComments()[0]?.loc.start.line !== 1 && !sourceCode.text.startsWith("#!"))
          context.report({ node, messageId: "head", loc: { line: 1, column: 0 } });
      },
      ExportNamedDeclaration(node) {
        if (node.declaration && !hasDocComment(sourceCode, node)) context.report({ node, messageId: "missing" });
      },
    };
  },
};
