#include "src/dnssd/address_filter.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <system_error>

namespace tulipyoke::dnssd {
namespace {

constexpr std::size_t kIpv4Bytes = 4;
constexpr std::size_t kIpv6Bytes = 16;
constexpr int kBitsPerByte = 8;
// First bytes: 224.0.0.0/4 is multicast and 240.0.0.0/4 reserved, 0.0.0.0/8 is "this network"; ff00::/8 is
// multicast.
constexpr std::uint8_t kFirstIpv4Multicast = 224;
constexpr std::uint8_t kIpv6Multicast = 255;

std::optional<std::vector<std::uint8_t>> ParseAddress(const std::string& text) {
  std::vector<std::uint8_t> bytes(kIpv4Bytes);
  if (inet_pton(AF_INET, text.c_str(), bytes.data()) == 1) return bytes;
  bytes.resize(kIpv6Bytes);
  if (inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1) return bytes;
  return std::nullopt;
}

std::optional<int> ParseNumber(std::string_view text) {
  int value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

}  // namespace

AddressBlock::AddressBlock(const std::string& text) {
  const std::size_t slash = text.find('/');
  std::optional<std::vector<std::uint8_t>> bytes;
  std::optional<int> bits;
  if (slash != std::string::npos) {
    bytes = ParseAddress(text.substr(0, slash));
    bits = ParseNumber(std::string_view(text).substr(slash + 1));
  }
  const bool valid = bytes && bits && *bits >= 0 && *bits <= kBitsPerByte * static_cast<int>(bytes->size());
  if (!valid) throw std::invalid_argument("no block of addresses such as 10.0.0.0/8: '" + text + "'");
  bytes_ = *bytes;
  prefix_bits_ = *bits;
}

bool AddressBlock::Contains(const std::string& address) const {
  const std::optional<std::vector<std::uint8_t>> bytes = ParseAddress(address);
  if (!bytes || bytes->size() != bytes_.size()) return false;
  for (int bit = 0; bit < prefix_bits_; ++bit) {
    const auto index = static_cast<std::size_t>(bit / kBitsPerByte);
    const int difference = (*bytes)[index] ^ bytes_[index];
    const int shift = kBitsPerByte - 1 - bit % kBitsPerByte;
    if ((difference >> shift & 1) != 0) return false;
  }
  return true;
}

bool IsUnicast(const std::string& address) {
  const std::optional<std::vector<std::uint8_t>> bytes = ParseAddress(address);
  if (!bytes) return false;
  const bool unspecified =
      std::all_of(bytes->begin(), bytes->end(), [](std::uint8_t byte) { return byte == 0; });
  if (unspecified) return false;
  const std::uint8_t first = bytes->front();
  if (bytes->size() == kIpv4Bytes) return first != 0 && first < kFirstIpv4Multicast;
  return first != kIpv6Multicast;
}

bool AddressFilter::Accepts(const std::string& address) const {
  if (!IsUnicast(address)) return false;
  return blocks_.empty() || std::any_of(blocks_.begin(), blocks_.end(),
                                        [&](const AddressBlock& block) { return block.Contains(address); });
}

}  // namespace tulipyoke::dnssd
