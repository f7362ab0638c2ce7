// Helpers for parsing the text of statements.
#ifndef TULIPYOKE_SRC_PG_TEXT_HPP_
#define TULIPYOKE_SRC_PG_TEXT_HPP_

#include <cstddef>
#include <string_view>

namespace tulipyoke::pg {

// Characters that separate words and statements and have no other meaning.
inline constexpr std::string_view kSeparators = " \t\r\n;";

// Returns the text without leading and trailing separators.
inline std::string_view Trim(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(kSeparators);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kSeparators) - begin + 1);
}

// Converts only ASCII letters.
inline char ToUpper(char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c; }

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_TEXT_HPP_
