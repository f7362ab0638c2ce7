// IP addresses of servers that may be used: configured blocks, unicast only. Pure functions.
#ifndef TULIPYOKE_SRC_DNSSD_ADDRESS_FILTER_HPP_
#define TULIPYOKE_SRC_DNSSD_ADDRESS_FILTER_HPP_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace tulipyoke::dnssd {

// A block of addresses in CIDR notation, such as 10.0.0.0/8 or fd00::/8.
class AddressBlock {
 public:
  // Throws std::invalid_argument where the text is no such block; for start-up.
  explicit AddressBlock(const std::string& text);
  // False also for text that is no address.
  bool Contains(const std::string& address) const;

 private:
  std::vector<std::uint8_t> bytes_;  // in network order: 4 of IPv4, 16 of IPv6
  int prefix_bits_ = 0;
};

// False for the unspecified address, multicast, broadcast, and text that is no address.
bool IsUnicast(const std::string& address);

// Accepts unicast addresses in any of some blocks.
class AddressFilter {
 public:
  // No blocks: any unicast address is accepted.
  explicit AddressFilter(std::vector<AddressBlock> blocks) : blocks_(std::move(blocks)) {}
  bool Accepts(const std::string& address) const;

 private:
  std::vector<AddressBlock> blocks_;
};

}  // namespace tulipyoke::dnssd

#endif  // TULIPYOKE_SRC_DNSSD_ADDRESS_FILTER_HPP_
