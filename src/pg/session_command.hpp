// Statements that affect only the client's session. The router answers them itself.
#ifndef TULIPYOKE_SRC_PG_SESSION_COMMAND_HPP_
#define TULIPYOKE_SRC_PG_SESSION_COMMAND_HPP_

#include <string_view>

namespace tulipyoke::pg {

// kNone: any other statement. kEmpty: the query contains no statement.
enum class SessionCommand { kNone, kEmpty, kSet, kReset, kDiscard };

// Classifies a query by its first word, ignoring case.
SessionCommand ParseSessionCommand(std::string_view text);

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_SESSION_COMMAND_HPP_
