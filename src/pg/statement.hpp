// What the router reads from a client's statement: the key in the SQL, and the `name=value` fields of the
// comment that ends it.
#ifndef TULIPYOKE_SRC_PG_STATEMENT_HPP_
#define TULIPYOKE_SRC_PG_STATEMENT_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace tulipyoke::pg {

// The views are into the statement's text. The field's name in the comment is given where it differs.
struct Statement {
  std::string_view request_id;       // id
  std::string_view class_name;       // c
  std::string_view tenant;           // t
  std::string_view key;              // the first quoted text of the SQL
  std::string_view idempotency_key;  // k, by which the servers of a cluster drop a repeated write
  std::int64_t timeout_ms = 0;       // d
  std::size_t timeout_offset = 0;    // where the text of d stands
  std::size_t timeout_size = 0;      // and how long it is
  std::optional<std::int64_t> last_write_unix_ms;  // after: Unix time up to which the session has written
  int cluster = 0;
  bool is_write = false;
  bool is_retry = false;  // r=1: the client has sent this request before
};

// None where the text is not a statement in the form that clients send: it must not be forwarded, since a
// server might not read it, or might read it differently.
std::optional<Statement> ParseStatement(std::string_view text);

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_STATEMENT_HPP_
