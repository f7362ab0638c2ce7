// What one instance's records say of a readings server: SRV and TXT (RFC 6763, 5 and 6) and an address become
// an entry of a list. Pure functions.
#ifndef TULIPYOKE_SRC_DNSSD_INSTANCE_HPP_
#define TULIPYOKE_SRC_DNSSD_INSTANCE_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/dispatch/endpoint_list.hpp"
#include "src/dnssd/message.hpp"

namespace tulipyoke::dnssd {

// The TXT keys that count; others are passed over (RFC 6763, 6.6). Keys know no case.
struct Attributes {
  std::string id;                    // `id`: the server's id at other sources; empty: the instance's own name
  int group = 0;                     // `group`: 0 to 65535, its set
  std::string site;                  // `site`; empty: the zone's
  std::string kind;                  // `kind`: a machine kind of the settings
  double size = 1;                   // `size`: over 0, to 1,000,000
  std::int64_t started_unix_ms = 0;  // `started`: Unix time in milliseconds; 0: not said
  bool draining = false;             // `state`: in_service or terminating
  std::string version;               // `version`: of its software, for staff
  bool primary = false;              // `role`: primary or replica, a hint only
};

// What is wrong, by its key; the record as a whole is then not used.
struct TextFault {
  std::string key, reason;
};
// One string of a TXT record is at most 255 bytes by its form; all together count up to this many.
inline constexpr std::size_t kLongestText = 1300;
inline constexpr int kTextVersion = 1;  // `txtvers`; another is a form that is not known here

// Strings that are no key=value and keys that are not known are passed over; a key's first mention counts.
std::optional<TextFault> ReadAttributes(const TextData& text, Attributes& attributes);

// The record to use: lowest priority, then highest weight, then name and port, so that all routers agree.
std::optional<ServiceData> ChooseService(const std::vector<ServiceData>& services);

// Address and port as the rest of the program writes them.
ListedServer ToListed(const Name& instance, const Attributes& attributes, const std::string& zone_site,
                      const std::string& address, std::uint16_t port);

// A block of addresses, such as 10.0.0.0/8 or fd00::/8.
class AddressBlock {
 public:
  // Throws std::invalid_argument.
  explicit AddressBlock(const std::string& text);
  bool Holds(const std::string& address) const;

 private:
  std::vector<std::uint8_t> bytes_;
  int bits_ = 0;
};
// Nothing is sent to the unspecified address, multicast or broadcast, whatever the settings allow.
bool IsUnicast(const std::string& address);

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_INSTANCE_HPP_
