// DNS messages as the browser of services sees them (RFC 1035, 2782, 6763; EDNS of RFC 6891). The bytes are
// read and written by ldns; here they become plain values. Pure functions over bytes, no I/O.
#ifndef TULIPYOKE_SRC_DNSSD_MESSAGE_HPP_
#define TULIPYOKE_SRC_DNSSD_MESSAGE_HPP_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tulipyoke::dnssd {

// Names are in presentation form, lower case, with the dot at their end: two that differ in case are one.
using Name = std::string;

enum class RecordType : std::uint16_t {
  kA = 1,
  kSoa = 6,
  kPtr = 12,
  kTxt = 16,
  kAaaa = 28,
  kSrv = 33,
  kIxfr = 251,
  kAxfr = 252,
  kOther = 0,
};
const char* ToText(RecordType type);

struct PointerData {
  Name target;
  Name parent;        // the target less its first label
  std::string label;  // that label's bytes as published: UTF-8, dots and all (RFC 6763, 4.1.1)
  auto operator<=>(const PointerData&) const = default;
};
struct ServiceData {
  std::uint16_t priority = 0, weight = 0, port = 0;
  Name target;
  auto operator<=>(const ServiceData&) const = default;
};
struct TextData {
  std::vector<std::string> strings;
  auto operator<=>(const TextData&) const = default;
};
struct AddressData {
  std::string address;  // as text
  auto operator<=>(const AddressData&) const = default;
};
struct SoaData {
  std::uint32_t serial = 0;
  std::uint32_t negative_ttl = 0;  // seconds: the lesser of its TTL and its minimum (RFC 2308, 5)
  auto operator<=>(const SoaData&) const = default;
};
struct OtherData {
  auto operator<=>(const OtherData&) const = default;
};

struct Record {
  Name name;
  RecordType type = RecordType::kOther;
  std::uint32_t ttl = 0;  // seconds
  std::variant<OtherData, PointerData, ServiceData, TextData, AddressData, SoaData> data;
};

struct Question {
  Name name;
  RecordType type = RecordType::kOther;
  auto operator<=>(const Question&) const = default;
};

enum class Rcode { kNoError = 0, kFormErr = 1, kServFail = 2, kNxDomain = 3, kNotImp = 4, kRefused = 5 };

struct Message {
  std::uint16_t id = 0;
  bool response = false, truncated = false, authoritative = false;
  int rcode = 0;                     // as Rcode, or another that is not told apart
  std::optional<Question> question;  // none: not just one, or one that is not of the class IN
  std::vector<Record> answers, authority, additional;
};

// The payload that is offered for answers over UDP, in bytes (RFC 6891, 6.2.5): no fragments on usual paths.
inline constexpr std::uint16_t kUdpPayload = 1232;
// A name that no query can carry, or whose text is none.
bool IsName(std::string_view text);
// Lower case, with a dot at the end; empty where it is no name.
Name Canonical(std::string_view text);

// One question without recursion wanted being told apart: both kinds of servers answer it. `serial` is the
// one held, for an IXFR (RFC 1995, 3). Throws std::invalid_argument where the name is none.
std::string WriteQuery(std::uint16_t id, const Question& question, std::uint32_t serial = 0);

// Nothing where the bytes are no whole message: counts that lie, loops of compression, cut records. The cost
// is bounded: see `kMostHops`.
std::optional<Message> ReadMessage(std::string_view bytes);
// Compression pointers followed in a message at most, over all its names; a real one has a few a record.
inline constexpr std::size_t kMostHops = 40000;

// RFC 1982, 3.2: whether serial `a` comes before `b`. Undefined distances count as neither.
bool SerialBefore(std::uint32_t a, std::uint32_t b);

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_MESSAGE_HPP_
