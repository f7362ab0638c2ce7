// Reasons for not accepting a client's statement as a request.
#ifndef TULIPYOKE_SRC_LISTENER_STATEMENT_ERROR_HPP_
#define TULIPYOKE_SRC_LISTENER_STATEMENT_ERROR_HPP_

#include <string_view>

namespace tulipyoke::net {

enum class StatementError {
  kUnsupportedForm,
  kUnknownClass,
  kClassMismatch,         // a write in a class of reads, or a read in a class of writes
  kNoIdempotencyKey,      // required by the class
  kRequestIdAlreadyOpen,  // another open request has the id; it is not affected
  kRequestIdAlreadyUsed,  // a request with the id, in a class that must not run twice, may have run lately
};

// Returns the error text sent to the client.
constexpr std::string_view ToText(StatementError error) {
  switch (error) {
    case StatementError::kUnsupportedForm:
      return "the statement has no form that is served here, or lacks the comment that says what it is";
    case StatementError::kUnknownClass:
      return "no class of requests has this name";
    case StatementError::kClassMismatch:
      return "the class does not fit the statement";
    case StatementError::kNoIdempotencyKey:
      return "the class wants a key for repeats";
    case StatementError::kRequestIdAlreadyOpen:
      return "a request with this id is still open";
    case StatementError::kRequestIdAlreadyUsed:
      return "a request with this id may have taken effect";
  }
  return "";
}

}  // namespace tulipyoke::net

#endif  // TULIPYOKE_SRC_LISTENER_STATEMENT_ERROR_HPP_
