// A hash function and a random number generator whose results do not depend on the standard library, for
// tests that compare a run with recorded results.
#ifndef TULIPYOKE_TESTS_DISPATCH_REPRODUCIBLE_HPP_
#define TULIPYOKE_TESTS_DISPATCH_REPRODUCIBLE_HPP_

#include <cstdint>
#include <string_view>

namespace tulipyoke {

// 64-bit FNV-1a over little-endian numbers and length-prefixed strings.
class Fnv1a {
 public:
  void AddNumber(std::uint64_t number) {
    for (int shift = 0; shift < 64; shift += 8) AddByte(static_cast<unsigned char>(number >> shift));
  }
  void AddSigned(std::int64_t number) { AddNumber(static_cast<std::uint64_t>(number)); }
  void AddText(std::string_view text) {
    AddNumber(text.size());
    for (const char c : text) AddByte(static_cast<unsigned char>(c));
  }
  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
  static constexpr std::uint64_t kPrime = 1099511628211ULL;

  void AddByte(unsigned char byte) { value_ = (value_ ^ byte) * kPrime; }

  std::uint64_t value_ = kOffsetBasis;
};

// The pseudo-random number generator SplitMix64.
class SplitMix64 {
 public:
  explicit SplitMix64(std::uint64_t seed) : state_(seed) {}
  std::uint64_t Below(std::uint64_t bound) { return Next() % bound; }
  bool OneIn(std::uint64_t bound) { return Below(bound) == 0; }

 private:
  std::uint64_t Next() {
    std::uint64_t mixed = (state_ += 0x9E3779B97F4A7C15ULL);
    mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31);
  }

  std::uint64_t state_;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_TESTS_DISPATCH_REPRODUCIBLE_HPP_
