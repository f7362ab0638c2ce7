// Helpers for the text of statements.
#ifndef TULIPYOKE_SRC_PG_TEXT_HPP_
#define TULIPYOKE_SRC_PG_TEXT_HPP_

#include <cstddef>
#include <string_view>

namespace tulipyoke::pg {

// What separates words and statements without a meaning of its own.
inline constexpr std::string_view kSeparators = " \t\r\n;";

// The text without separators at either end.
inline std::string_view Trim(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(kSeparators);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kSeparators) - begin + 1);
}

// Of ASCII letters alone.
inline char ToUpper(char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c; }

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_TEXT_HPP_
