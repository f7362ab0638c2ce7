// The type bytes of the protocol messages that the router reads or writes. The same byte has different
// meanings in messages from clients and from servers.
#ifndef TULIPYOKE_SRC_PG_MESSAGE_TYPES_HPP_
#define TULIPYOKE_SRC_PG_MESSAGE_TYPES_HPP_

namespace tulipyoke::pg {

// Messages from servers.
namespace backend {
inline constexpr char kAuthentication = 'R';
inline constexpr char kBackendKeyData = 'K';
inline constexpr char kCommandComplete = 'C';
inline constexpr char kDataRow = 'D';
inline constexpr char kEmptyQueryResponse = 'I';
inline constexpr char kErrorResponse = 'E';
inline constexpr char kNoticeResponse = 'N';
inline constexpr char kNotificationResponse = 'A';
inline constexpr char kParameterStatus = 'S';
inline constexpr char kReadyForQuery = 'Z';
inline constexpr char kRowDescription = 'T';
}  // namespace backend

// Messages from clients.
namespace frontend {
inline constexpr char kBind = 'B';
inline constexpr char kClose = 'C';
inline constexpr char kDescribe = 'D';
inline constexpr char kExecute = 'E';
inline constexpr char kFlush = 'H';
inline constexpr char kFunctionCall = 'F';
inline constexpr char kParse = 'P';
inline constexpr char kQuery = 'Q';
inline constexpr char kSync = 'S';
inline constexpr char kTerminate = 'X';
}  // namespace frontend

// Stands for the type byte of a startup packet, which has none.
inline constexpr char kStartupPacket = '\0';

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_MESSAGE_TYPES_HPP_
