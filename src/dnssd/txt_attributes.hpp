// The attributes of a server in its TXT record: key=value strings (RFC 6763, 6). Pure functions.
#ifndef TULIPYOKE_SRC_DNSSD_TXT_ATTRIBUTES_HPP_
#define TULIPYOKE_SRC_DNSSD_TXT_ATTRIBUTES_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "src/dnssd/message.hpp"

namespace tulipyoke::dnssd {

// The keys that are used; others are ignored (RFC 6763, 6.6). Keys are case-insensitive.
struct TxtAttributes {
  std::string id;    // `id`: the server's id at other sources; empty: the name of the instance
  int group = 0;     // `group`: its replica set, 0 to 65535
  std::string site;  // `site`; empty: that of the zone
  std::string kind;  // `kind`: a machine kind of the settings
  double size = 1;   // `size`: relative capacity, over 0, to 1,000,000
  std::int64_t started_unix_ms = 0;  // `started`: Unix time in milliseconds; 0: not given
  bool draining = false;             // `state`: in_service or terminating
  std::string version;               // `version`: of its software, for operators
  bool primary = false;              // `role`: primary or replica, a hint only
};

// The size of all strings of a TXT record together, with their length bytes, at most.
inline constexpr std::size_t kMaxTxtBytes = 1300;
// The one known value of `txtvers`.
inline constexpr int kTxtVersion = 1;

enum class TxtFaultReason {
  kTooLong,
  kSeveralRecords,  // they would be several versions (RFC 6763, 6.8), which are not defined here
  kUnknownVersion,
  kGroupOutOfRange,
  kInvalidSize,
  kInvalidStartTime,
  kUnknownState,
  kUnknownRole,
  kInvalidWord,  // not printable, with spaces, or too long
};

// Why a TXT record is rejected as a whole.
struct TxtFault {
  std::string key;  // "TXT" where the fault is not that of one key
  TxtFaultReason reason = TxtFaultReason::kTooLong;

  bool operator==(const TxtFault&) const = default;
};
// For log messages.
std::string ToText(const TxtFault& fault);

// Strings without a key and unknown keys are ignored; of a repeated key, the first one counts.
std::variant<TxtAttributes, TxtFault> ParseTxtAttributes(const TxtData& txt);

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_TXT_ATTRIBUTES_HPP_
