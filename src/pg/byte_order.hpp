// Encoding and decoding of integers in network byte order (big-endian), as the protocol's messages hold them.
#ifndef TULIPYOKE_SRC_PG_BYTE_ORDER_HPP_
#define TULIPYOKE_SRC_PG_BYTE_ORDER_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tulipyoke::pg {

inline constexpr std::size_t kUint32Size = 4;
// The column count at the start of a DataRow and of a RowDescription body.
inline constexpr std::size_t kColumnCountSize = 2;

// Decodes the first four bytes. `bytes` must hold at least four.
inline std::uint32_t DecodeUint32(std::string_view bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < kUint32Size; ++i) value = value << 8 | static_cast<unsigned char>(bytes[i]);
  return value;
}

inline void AppendUint32(std::string& out, std::size_t value) {
  for (int shift = 24; shift >= 0; shift -= 8) out.push_back(static_cast<char>(value >> shift & 0xff));
}

// Returns whether `bytes` starts with a column count of one.
inline bool HasOneColumn(std::string_view bytes) {
  return bytes.size() >= kColumnCountSize && bytes[0] == 0 && bytes[1] == 1;
}

}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_SRC_PG_BYTE_ORDER_HPP_
