// DNS messages as plain values (RFC 1035, 2782, 6763; EDNS of RFC 6891). ldns parses and serializes the
// bytes. Pure functions, no I/O.
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

// A name in presentation form, in lower case and with the trailing dot, so that equal names compare equal.
using DomainName = std::string;

// The record types that the browser handles; the values are those of the wire format.
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

// The data of a PTR record of DNS-SD.
struct PtrData {
  DomainName target;
  DomainName parent;  // the target less its first label
  std::string label;  // the bytes of that label as published: UTF-8, dots included (RFC 6763, 4.1.1)
  auto operator<=>(const PtrData&) const = default;
};
struct SrvData {
  std::uint16_t priority = 0;
  std::uint16_t weight = 0;
  std::uint16_t port = 0;
  DomainName target;
  auto operator<=>(const SrvData&) const = default;
};
struct TxtData {
  std::vector<std::string> strings;
  auto operator<=>(const TxtData&) const = default;
};
// Of A and AAAA records.
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
  DomainName name;
  RecordType type = RecordType::kOther;  // also of any record that is not of class IN
  std::uint32_t ttl = 0;                 // seconds
  std::variant<OtherData, PtrData, SrvData, TxtData, AddressData, SoaData> data;
};

struct Question {
  DomainName name;
  RecordType type = RecordType::kOther;
  auto operator<=>(const Question&) const = default;
};

enum class Rcode { kNoError = 0, kFormErr = 1, kServFail = 2, kNxDomain = 3, kNotImp = 4, kRefused = 5 };

struct Message {
  std::uint16_t id = 0;
  bool response = false;
  bool truncated = false;
  bool authoritative = false;
  int rcode = 0;                     // an Rcode, or another value of RFC 6895
  std::optional<Question> question;  // none: there is not exactly one, or it is not of class IN
  std::vector<Record> answers;
  std::vector<Record> authority;
  std::vector<Record> additional;
};

// The UDP payload size offered by EDNS, in bytes (RFC 6891, 6.2.5): not fragmented on usual paths.
inline constexpr std::uint16_t kUdpPayloadBytes = 1232;
// The compression pointers followed in one message at most, over all its names; a real one has a few a
// record.
inline constexpr std::size_t kMaxCompressionHops = 40000;

// Whether a query can be made for this name.
bool IsValidName(std::string_view text);
// In lower case with a trailing dot; empty where the text is no valid name.
DomainName CanonicalName(std::string_view text);

// The bytes of a query. `serial` is that of the zone copy held, for an IXFR (RFC 1995, 3). Recursion is
// desired: resolvers need it and authoritative servers ignore it. Throws std::invalid_argument for an invalid
// name.
std::string EncodeQuery(std::uint16_t id, const Question& question,
                        std::optional<std::uint32_t> serial = std::nullopt);

// None where the bytes are no valid message: wrong counts, compression loops, truncated records. The cost is
// bounded, see `kMaxCompressionHops`.
std::optional<Message> ParseMessage(std::string_view bytes);

// Serial number arithmetic (RFC 1982, 3.2): whether `left` comes before `right`. False for the distance that
// the RFC leaves undefined.
bool SerialBefore(std::uint32_t left, std::uint32_t right);

// None where the record is no SOA.
std::optional<std::uint32_t> SoaSerial(const Record& record);

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_MESSAGE_HPP_
