#include "src/pg/session_command.hpp"

#include <algorithm>
#include <string>

#include "src/pg/text.hpp"

namespace tulipyoke::pg {

SessionCommand ParseSessionCommand(std::string_view text) {
  const std::string_view trimmed = Trim(text);
  if (trimmed.empty()) return SessionCommand::kEmpty;
  std::string word(trimmed.substr(0, trimmed.find_first_of(kSeparators)));
  std::transform(word.begin(), word.end(), word.begin(), ToUpper);
  if (word == "SET") return SessionCommand::kSet;
  if (word == "RESET") return SessionCommand::kReset;
  if (word == "DISCARD") return SessionCommand::kDiscard;
  return SessionCommand::kNone;
}

}  // namespace tulipyoke::pg
