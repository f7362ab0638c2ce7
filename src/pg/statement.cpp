#include "src/pg/statement.hpp"

#include <algorithm>
#include <charconv>
#include <initializer_list>
#include <iterator>
#include <limits>

#include "src/pg/text.hpp"

namespace tulipyoke::pg {
namespace {

constexpr std::string_view kCommentBegin = "/*";
constexpr std::string_view kCommentEnd = "*/";
constexpr std::string_view kHexPrefix = "\\x";
// One day. No client waits longer, and the limit keeps sums of times from overflowing.
constexpr std::int64_t kMaxTimeoutMs = 86'400'000;
constexpr std::int64_t kMaxLastWriteUnixMs = kMaxTimeoutMs * 365 * 1000;

struct StatementText {
  std::string_view sql, comment;
};

// The values of the comment's fields as raw text. An empty value means that the field is absent.
struct CommentFields {
  std::string_view request_id, class_name, tenant, timeout, idempotency_key, retry, cluster, last_write;
};

struct SqlFields {
  std::string_view key;
  bool is_write = false;
};

struct FieldName {
  std::string_view name;
  std::string_view CommentFields::*value;
};
constexpr FieldName kFieldNames[] = {
    {"id", &CommentFields::request_id},     {"c", &CommentFields::class_name},
    {"t", &CommentFields::tenant},          {"d", &CommentFields::timeout},
    {"k", &CommentFields::idempotency_key}, {"r", &CommentFields::retry},
    {"cluster", &CommentFields::cluster},   {"after", &CommentFields::last_write},
};

// Parses the whole text as a number. Returns none if it is not a number from 0 to `max`.
template <typename T>
std::optional<T> ParseNumber(std::string_view text, T max) {
  T value{};
  const char* const text_end = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), text_end, value);
  if (error != std::errc() || end != text_end || value < 0 || value > max) return std::nullopt;
  return value;
}

// Removes leading separators and the word, ignoring case, from the front of `sql`. Returns false if `sql`
// does not start with them.
bool TakeWord(std::string_view& sql, std::string_view upper_case_word) {
  const std::size_t begin = std::min(sql.find_first_not_of(kSeparators), sql.size());
  const std::string_view found = sql.substr(begin, upper_case_word.size());
  const auto matches = [](char c, char expected) { return ToUpper(c) == expected; };
  if (!std::equal(found.begin(), found.end(), upper_case_word.begin(), upper_case_word.end(), matches))
    return false;
  sql.remove_prefix(begin + upper_case_word.size());
  return true;
}

bool TakeWords(std::string_view& sql, std::initializer_list<std::string_view> upper_case_words) {
  return std::all_of(upper_case_words.begin(), upper_case_words.end(),
                     [&](std::string_view word) { return TakeWord(sql, word); });
}

// Removes a string in single quotes from the front of `sql` and returns its content.
std::optional<std::string_view> TakeQuoted(std::string_view& sql) {
  if (!TakeWord(sql, "'")) return std::nullopt;
  const std::size_t end = sql.find('\'');
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view value = sql.substr(0, end);
  sql.remove_prefix(end + 1);
  return value;
}

// std::isxdigit is too slow here, since values have millions of digits.
bool IsHexDigit(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }

bool IsHexBytes(std::string_view value) {
  if (!value.starts_with(kHexPrefix) || value.size() % 2 != 0) return false;
  return std::all_of(value.begin() + static_cast<std::ptrdiff_t>(kHexPrefix.size()), value.end(), IsHexDigit);
}

// SELECT blob FROM rows WHERE handle = 'key'
std::optional<SqlFields> ParseSelect(std::string_view sql) {
  if (!TakeWords(sql, {"SELECT ", "BLOB ", "FROM ", "ROWS ", "WHERE ", "HANDLE", "="})) return std::nullopt;
  const std::optional<std::string_view> key = TakeQuoted(sql);
  if (!key || key->empty() || !Trim(sql).empty()) return std::nullopt;
  return SqlFields{*key, false};
}

// INSERT INTO rows (handle, blob) VALUES ('key', '\x00') RETURNING blob
std::optional<SqlFields> ParseInsert(std::string_view sql) {
  if (!TakeWords(sql, {"INSERT ", "INTO ", "ROWS", "(", "HANDLE", ",", "BLOB", ")", "VALUES", "("}))
    return std::nullopt;
  const std::optional<std::string_view> key = TakeQuoted(sql);
  if (!key || key->empty() || !TakeWord(sql, ",")) return std::nullopt;
  const std::optional<std::string_view> value = TakeQuoted(sql);
  if (!value || !TakeWords(sql, {")", "RETURNING ", "BLOB"})) return std::nullopt;
  if (!IsHexBytes(*value) || !Trim(sql).empty()) return std::nullopt;
  return SqlFields{*key, true};
}

// Splits a query into its SQL and the comment that ends it. Returns none if there is no such comment or it
// has a control character.
std::optional<StatementText> SplitComment(std::string_view text) {
  if (!text.ends_with(kCommentEnd)) return std::nullopt;
  const std::size_t begin = text.rfind(kCommentBegin);
  const std::size_t delimiters_size = kCommentBegin.size() + kCommentEnd.size();
  if (begin == std::string_view::npos || begin + delimiters_size > text.size()) return std::nullopt;
  const std::string_view comment =
      text.substr(begin + kCommentBegin.size(), text.size() - begin - delimiters_size);
  const auto is_control = [](char c) { return static_cast<unsigned char>(c) < ' '; };
  if (std::any_of(comment.begin(), comment.end(), is_control)) return std::nullopt;
  return StatementText{text.substr(0, begin), comment};
}

// Stores one `name=value` pair; unknown names are ignored. Returns false if the pair makes the comment
// invalid.
bool ParseField(std::string_view pair, CommentFields& fields) {
  const std::size_t equals = std::min(pair.find('='), pair.size());
  const std::string_view name = pair.substr(0, equals);
  const auto* const entry = std::find_if(std::begin(kFieldNames), std::end(kFieldNames),
                                         [&](const FieldName& field) { return field.name == name; });
  if (entry == std::end(kFieldNames)) return true;
  std::string_view& value = fields.*entry->value;
  // A duplicate field is refused, because a server might use the other value.
  if (!value.empty() || equals == pair.size()) return false;
  value = pair.substr(equals + 1);
  return true;
}

std::optional<CommentFields> ParseComment(std::string_view comment) {
  CommentFields fields;
  while (!comment.empty()) {
    const std::size_t comma = comment.find(',');
    if (!ParseField(Trim(comment.substr(0, comma)), fields)) return std::nullopt;
    comment.remove_prefix(comma == std::string_view::npos ? comment.size() : comma + 1);
  }
  if (fields.request_id.empty() || fields.class_name.empty()) return std::nullopt;
  return fields;
}

}  // namespace

std::optional<Statement> ParseStatement(std::string_view text) {
  const std::optional<StatementText> parts = SplitComment(Trim(text));
  if (!parts) return std::nullopt;
  const std::optional<CommentFields> fields = ParseComment(parts->comment);
  if (!fields) return std::nullopt;
  const auto timeout = ParseNumber<std::int64_t>(fields->timeout, kMaxTimeoutMs);
  if (!timeout) return std::nullopt;

  Statement result;
  result.request_id = fields->request_id;
  result.class_name = fields->class_name;
  result.tenant = fields->tenant;
  result.idempotency_key = fields->idempotency_key;
  result.timeout_ms = *timeout;
  result.timeout_offset = static_cast<std::size_t>(fields->timeout.data() - text.data());
  result.timeout_size = fields->timeout.size();
  result.is_retry = fields->retry == "1";
  if (!fields->cluster.empty()) {
    const auto cluster = ParseNumber<int>(fields->cluster, std::numeric_limits<int>::max());
    if (!cluster) return std::nullopt;
    result.cluster = *cluster;
  }
  if (!fields->last_write.empty()) {
    result.last_write_unix_ms = ParseNumber<std::int64_t>(fields->last_write, kMaxLastWriteUnixMs);
    if (!result.last_write_unix_ms) return std::nullopt;
  }
  std::optional<SqlFields> sql = ParseSelect(parts->sql);
  if (!sql) sql = ParseInsert(parts->sql);
  if (!sql) return std::nullopt;
  result.key = sql->key;
  result.is_write = sql->is_write;
  return result;
}

}  // namespace tulipyoke::pg
