// What a router reads from a client's statement: the names and values of the comment that ends it, and the
// first quoted text, which is the key.
#ifndef TULIPYOKE_SRC_PG_STATEMENT_HPP_
#define TULIPYOKE_SRC_PG_STATEMENT_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace tulipyoke::pg {

struct Statement {
  std::string_view id, class_name, tenant, key;
  std::string_view repeat_key;             // k, by which a set drops a repeat
  std::int64_t wait_ms = 0;                // d
  std::size_t wait_at = 0, wait_size = 0;  // where the text of d stands
  std::optional<std::int64_t> after_ms;    // Unix time up to which the session has written
  int cluster = 0;
  bool writes = false, repeat = false;
};

// None where the text is no statement in the form that clients send: what a server could not read, or might
// read otherwise than the router did, gets no further.
std::optional<Statement> ParseStatement(std::string_view text);

// Statements that concern the connection alone and are answered by whoever holds it.
enum class Housekeeping { kNone, kEmpty, kSet, kReset, kDiscard };
Housekeeping HousekeepingOf(std::string_view text);

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_STATEMENT_HPP_
