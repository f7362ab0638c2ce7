#include "src/pg/statement.hpp"

#include <algorithm>
#include <charconv>
#include <initializer_list>
#include <string>

namespace tulipyoke::pg {
namespace {

constexpr std::string_view kBlank = " \t\r\n;";
// Nobody waits longer than a day; the limit keeps sums of times far from overflow.
constexpr std::int64_t kLongestWaitMs = 86'400'000;

std::string_view Trim(std::string_view text) {
  const std::size_t from = text.find_first_not_of(kBlank);
  if (from == std::string_view::npos) return {};
  return text.substr(from, text.find_last_not_of(kBlank) - from + 1);
}

template <typename T>
bool ParseWhole(std::string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size();
}

// Takes the next word in any case, with the blanks before it; false where something else stands there.
bool TakeWord(std::string_view& sql, std::string_view word) {
  const std::size_t from = std::min(sql.find_first_not_of(kBlank), sql.size());
  const std::string_view found = sql.substr(from, word.size());
  const auto same = [](char a, char b) { return a == b || (a >= 'a' && a <= 'z' && a - 'a' + 'A' == b); };
  if (!std::equal(found.begin(), found.end(), word.begin(), word.end(), same)) return false;
  sql.remove_prefix(from + word.size());
  return true;
}
bool TakeWords(std::string_view& sql, std::initializer_list<std::string_view> words) {
  return std::all_of(words.begin(), words.end(), [&](std::string_view word) { return TakeWord(sql, word); });
}
bool TakeQuoted(std::string_view& sql, std::string_view& value) {
  if (!TakeWord(sql, "'")) return false;
  const std::size_t end = sql.find('\'');
  if (end == std::string_view::npos) return false;
  value = sql.substr(0, end);
  sql.remove_prefix(end + 1);
  return true;
}
// Values have millions of digits.
bool IsHexDigit(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }
bool IsBytes(std::string_view value) {
  return value.starts_with("\\x") && value.size() % 2 == 0 &&
         std::all_of(value.begin() + 2, value.end(), IsHexDigit);
}
// The two forms that clients send.
bool ParseSql(std::string_view sql, Statement& result) {
  result.writes = !TakeWords(sql, {"SELECT "});
  std::string_view value = "\\x";
  const bool known =
      result.writes
          ? TakeWords(sql, {"INSERT ", "INTO ", "ROWS", "(", "HANDLE", ",", "BLOB", ")", "VALUES"}) &&
                TakeWords(sql, {"("}) && TakeQuoted(sql, result.key) && TakeWords(sql, {","}) &&
                TakeQuoted(sql, value) && TakeWords(sql, {")", "RETURNING ", "BLOB"})
          : TakeWords(sql, {"BLOB ", "FROM ", "ROWS ", "WHERE ", "HANDLE", "="}) &&
                TakeQuoted(sql, result.key);
  return known && !result.key.empty() && IsBytes(value) && Trim(sql).empty();
}

}  // namespace

std::optional<Statement> ParseStatement(std::string_view text) {
  const std::string_view trimmed = Trim(text);
  if (!trimmed.ends_with("*/")) return std::nullopt;
  const std::size_t open = trimmed.rfind("/*");
  if (open == std::string_view::npos || open + 4 > trimmed.size()) return std::nullopt;
  std::string_view comment = trimmed.substr(open + 2, trimmed.size() - open - 4);
  const auto unreadable = [](char c) { return static_cast<unsigned char>(c) < ' '; };
  if (std::any_of(comment.begin(), comment.end(), unreadable)) return std::nullopt;

  Statement result;
  std::string_view wait, cluster, after, again;
  while (!comment.empty()) {
    const std::size_t comma = comment.find(',');
    const std::string_view pair = Trim(comment.substr(0, comma));
    comment.remove_prefix(comma == std::string_view::npos ? comment.size() : comma + 1);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    const std::string_view name = pair.substr(0, equals);
    std::string_view* field = name == "id"        ? &result.id
                              : name == "c"       ? &result.class_name
                              : name == "t"       ? &result.tenant
                              : name == "d"       ? &wait
                              : name == "k"       ? &result.repeat_key
                              : name == "r"       ? &again
                              : name == "cluster" ? &cluster
                              : name == "after"   ? &after
                                                  : nullptr;
    if (!field) continue;
    // Said twice, it could be read one way here and another way by a server.
    if (!field->empty() || equals == pair.size()) return std::nullopt;
    *field = pair.substr(equals + 1);
  }
  if (result.id.empty() || result.class_name.empty()) return std::nullopt;
  if (!ParseWhole(wait, result.wait_ms) || result.wait_ms < 0 || result.wait_ms > kLongestWaitMs)
    return std::nullopt;
  result.wait_at = static_cast<std::size_t>(wait.data() - text.data());
  result.wait_size = wait.size();
  if (!cluster.empty() && (!ParseWhole(cluster, result.cluster) || result.cluster < 0)) return std::nullopt;
  if (!after.empty()) {
    std::int64_t ms = 0;
    if (!ParseWhole(after, ms) || ms < 0 || ms > kLongestWaitMs * 365 * 1000) return std::nullopt;
    result.after_ms = ms;
  }
  result.repeat = again == "1";
  if (!ParseSql(trimmed.substr(0, open), result)) return std::nullopt;
  return result;
}

Housekeeping HousekeepingOf(std::string_view text) {
  const std::string_view trimmed = Trim(text);
  if (trimmed.empty()) return Housekeeping::kEmpty;
  std::string word(trimmed.substr(0, trimmed.find_first_of(" \t\r\n;")));
  std::transform(word.begin(), word.end(), word.begin(),
                 [](char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c; });
  if (word == "SET") return Housekeeping::kSet;
  if (word == "RESET") return Housekeeping::kReset;
  if (word == "DISCARD") return Housekeeping::kDiscard;
  return Housekeeping::kNone;
}

}  // namespace tulipyoke::pg
