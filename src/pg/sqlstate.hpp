// The SQLSTATE codes in error responses of servers and of this router.
#ifndef TULIPYOKE_SRC_PG_SQLSTATE_HPP_
#define TULIPYOKE_SRC_PG_SQLSTATE_HPP_

#include <string_view>

namespace tulipyoke::pg::sqlstate {

inline constexpr std::string_view kProtocolViolation = "08P01";
inline constexpr std::string_view kFeatureNotSupported = "0A000";
inline constexpr std::string_view kReadOnlyTransaction = "25006";
inline constexpr std::string_view kSyntaxError = "42601";
inline constexpr std::string_view kTooManyConnections = "53300";
inline constexpr std::string_view kCannotConnectNow = "57P03";
inline constexpr std::string_view kSystemError = "58000";
inline constexpr std::string_view kSnapshotTooOld = "72000";

}  // namespace tulipyoke::pg::sqlstate

#endif  // TULIPYOKE_SRC_PG_SQLSTATE_HPP_
