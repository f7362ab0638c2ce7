// Conversion between hexadecimal text and bytes, for tests of binary formats.
#ifndef TULIPYOKE_TESTS_ADAPTER_HEX_HPP_
#define TULIPYOKE_TESTS_ADAPTER_HEX_HPP_

#include <cstddef>
#include <stdexcept>
#include <string>
#include <string_view>

namespace tulipyoke::wire {

// Returns the bytes that pairs of hexadecimal digits encode. Spaces are ignored.
inline std::string FromHex(std::string_view hex) {
  std::string bytes;
  std::string digits;
  for (const char character : hex) {
    if (character == ' ') continue;
    digits.push_back(character);
    if (digits.size() < 2) continue;
    bytes.push_back(static_cast<char>(std::stoi(digits, nullptr, 16)));
    digits.clear();
  }
  if (!digits.empty()) throw std::invalid_argument("an odd number of hexadecimal digits");
  return bytes;
}

// Returns two lower-case hexadecimal digits per byte.
inline std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (const char character : bytes) {
    const auto byte = static_cast<unsigned char>(character);
    hex.push_back(kDigits[byte >> 4]);
    hex.push_back(kDigits[byte & 0xf]);
  }
  return hex;
}

// Returns `bytes` padded with zeros to `size`, the fixed size of a record in the wire format.
inline std::string PadRecord(std::string bytes, std::size_t size) {
  if (bytes.size() > size) throw std::invalid_argument("the record is too long");
  bytes.resize(size, '\0');
  return bytes;
}

}  // namespace tulipyoke::wire

#endif  // TULIPYOKE_TESTS_ADAPTER_HEX_HPP_
