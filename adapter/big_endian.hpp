// Decoding of big-endian integers and floats, and encoding of big-endian integers.
#ifndef TULIPYOKE_ADAPTER_BIG_ENDIAN_HPP_
#define TULIPYOKE_ADAPTER_BIG_ENDIAN_HPP_

#include <bit>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tulipyoke::wire {

// Reads values at byte offsets of one record. An offset outside of the record is a programming error and
// throws std::out_of_range. Does not own the bytes.
class BigEndianReader {
 public:
  explicit BigEndianReader(std::string_view bytes) : bytes_(bytes) {}

  std::uint8_t U8(std::size_t offset) const { return Unsigned<std::uint8_t>(offset); }
  std::uint16_t U16(std::size_t offset) const { return Unsigned<std::uint16_t>(offset); }
  std::uint32_t U32(std::size_t offset) const { return Unsigned<std::uint32_t>(offset); }
  std::uint64_t U64(std::size_t offset) const { return Unsigned<std::uint64_t>(offset); }
  float F32(std::size_t offset) const { return std::bit_cast<float>(U32(offset)); }

 private:
  template <typename Integer>
  Integer Unsigned(std::size_t offset) const {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Integer); ++i) {
      value = value << 8 | static_cast<unsigned char>(bytes_.at(offset + i));
    }
    return static_cast<Integer>(value);
  }

  std::string_view bytes_;
};

// Appends all bytes of an unsigned integer, the most significant one first.
template <typename Integer>
void AppendBigEndian(std::string& out, Integer value) {
  for (std::size_t byte = sizeof(Integer); byte-- > 0;) {
    out.push_back(static_cast<char>(value >> (8 * byte) & 0xff));
  }
}

}  // namespace tulipyoke::wire

#endif  // TULIPYOKE_ADAPTER_BIG_ENDIAN_HPP_
