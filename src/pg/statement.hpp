// Parsing of a client's statement: the key in the SQL, and the `name=value` fields of the comment that ends
// it.
#ifndef TULIPYOKE_SRC_PG_STATEMENT_HPP_
#define TULIPYOKE_SRC_PG_STATEMENT_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace tulipyoke::pg {

// The views point into the statement's text. A member whose name is not that of its field in the
// comment has the field's name beside it.
struct Statement {
  std::string_view request_id;       // id
  std::string_view class_name;       // c
  std::string_view tenant;           // t
  std::string_view key;              // the first quoted string of the SQL
  std::string_view idempotency_key;  // k: the servers of a cluster discard a repeated write by it
  std::int64_t timeout_ms = 0;       // d
  std::size_t timeout_offset = 0;    // offset of the text of d in the statement
  std::size_t timeout_size = 0;      // size of the text of d
  std::optional<std::int64_t> last_write_unix_ms;  // after: time of the session's last write
  int cluster = 0;
  bool is_write = false;
  bool is_retry = false;  // r=1: the client sent this request before
};

// Returns none if the text is not a statement of one of the forms that clients send. Such a text must not be
// forwarded, since a server might reject it or read it differently.
std::optional<Statement> ParseStatement(std::string_view text);

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_STATEMENT_HPP_
