// The hierarchy of errors: stable codes, remedies in the message, causes kept.
import * as errors from "../../src/runtime/errors.js";

const CLASSES = [
  errors.StartupError,
  errors.StorageError,
  errors.ConnectionError,
  errors.TimeoutError,
  errors.NoQuorumError,
  errors.InvalidRequestError,
  errors.RevisionConflictError,
  errors.UnknownOutcomeError,
  errors.PayloadTooLargeError,
  errors.NotFoundError,
  errors.NotReadyError,
  errors.CapacityExceededError,
  errors.UsageError,
];

describe("errors", () => {
  test("each class has a code of its own", () => {
    const codes = CLASSES.map((ErrorClass) => new ErrorClass("m", "").code);
    expect(new Set(codes).size).toBe(CLASSES.length);
  });

  test.each(CLASSES)("%p keeps its cause and ends its message with the remedy", (ErrorClass) => {
    const cause = new Error("disk full");
    const error = new ErrorClass("cannot write", "free some space", { cause });
    expect(error).toBeInstanceOf(errors.CranewindError);
    expect(error).toMatchObject({ name: ErrorClass.name, cause, message: "cannot write; free some space", remedy: "free some space" });
  });

  test("a retry helps where nothing in the request is wrong", () => {
    const retriable = CLASSES.filter((ErrorClass) => new ErrorClass("m", "").isRetriable).map((ErrorClass) => ErrorClass.name);
    expect(retriable).toEqual(["ConnectionError", "TimeoutError", "NoQuorumError", "NotReadyError", "CapacityExceededError"]);
  });
});
