#include "src/pg/statement.hpp"

#include <algorithm>
#include <charconv>
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

}  // namespace

std::optional<Statement> ParseStatement(std::string_view text) {
  const std::string_view trimmed = Trim(text);
  if (!trimmed.ends_with("*/")) return std::nullopt;
  const std::size_t open = trimmed.rfind("/*");
  if (open == std::string_view::npos || open + 4 > trimmed.size()) return std::nullopt;
  std::string_view comment = trimmed.substr(open + 2, trimmed.size() - open - 4);

  Statement result;
  bool has_id = false, has_wait = false;
  while (!comment.empty()) {
    const std::size_t comma = comment.find(',');
    const std::string_view pair = Trim(comment.substr(0, comma));
    comment.remove_prefix(comma == std::string_view::npos ? comment.size() : comma + 1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    const std::string_view name = pair.substr(0, equals), value = pair.substr(equals + 1);
    if (name == "id") has_id = !value.empty();
    if (name == "c") result.class_name = value;
    if (name == "t") result.tenant = value;
    if (name == "r") result.repeat = value == "1";
    if (name == "cluster" && (!ParseWhole(value, result.cluster) || result.cluster < 0)) return std::nullopt;
    if (name == "after") {
      std::int64_t after = 0;
      if (!ParseWhole(value, after) || after < 0 || after > kLongestWaitMs * 365 * 1000) return std::nullopt;
      result.after_ms = after;
    }
    if (name == "d") {
      has_wait = ParseWhole(value, result.wait_ms) && result.wait_ms >= 0 && result.wait_ms <= kLongestWaitMs;
      result.wait_at = static_cast<std::size_t>(value.data() - text.data());
      result.wait_size = value.size();
    }
  }
  if (!has_id || !has_wait || result.class_name.empty()) return std::nullopt;

  const std::string_view sql = trimmed.substr(0, open);
  const std::size_t quote = sql.find('\'');
  const std::size_t end = quote == std::string_view::npos ? quote : sql.find('\'', quote + 1);
  if (end != std::string_view::npos) result.key = sql.substr(quote + 1, end - quote - 1);
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
