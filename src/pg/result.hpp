// The return type of parsers: a value, or the error that was found in the input.
#ifndef TULIPYOKE_SRC_PG_RESULT_HPP_
#define TULIPYOKE_SRC_PG_RESULT_HPP_

#include <utility>
#include <variant>

#include "src/pg/protocol_error.hpp"

namespace tulipyoke::pg {

template <typename T>
class [[nodiscard]] Result {
 public:
  // Implicit, so that a parser can return a value or an error directly.
  Result(T value) : content_(std::move(value)) {}   // NOLINT(google-explicit-constructor): see above
  Result(ProtocolError error) : content_(error) {}  // NOLINT(google-explicit-constructor): see above

  bool ok() const { return std::holds_alternative<T>(content_); }
  explicit operator bool() const { return ok(); }

  // Only valid if ok().
  const T& operator*() const& { return std::get<T>(content_); }
  T&& operator*() && { return std::get<T>(std::move(content_)); }
  const T* operator->() const { return &std::get<T>(content_); }
  // Only valid if not ok().
  ProtocolError error() const { return std::get<ProtocolError>(content_); }

 private:
  std::variant<T, ProtocolError> content_;
};

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_RESULT_HPP_
