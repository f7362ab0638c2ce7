// Statements that concern the client's connection alone: the router answers them itself.
#ifndef TULIPYOKE_SRC_PG_SESSION_COMMAND_HPP_
#define TULIPYOKE_SRC_PG_SESSION_COMMAND_HPP_

#include <string_view>

namespace tulipyoke::pg {

// kNone: another statement. kEmpty: no statement at all.
enum class SessionCommand { kNone, kEmpty, kSet, kReset, kDiscard };

// By the first word of the query's text, in any case.
SessionCommand ParseSessionCommand(std::string_view text);

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_SESSION_COMMAND_HPP_
