// Replays every corpus through its fuzz target, and damaged copies of it from fixed seeds.
#include <gtest/gtest.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace {

int Play(const std::string& bytes) {
  return LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

TEST(FuzzReplay, TheCorpusAndDamagedCopiesOfItKeepTheInvariants) {
  int files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(PROJECT_ROOT "/fuzz/corpus/dnssd")) {
    ++files;
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string seed((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    ASSERT_FALSE(seed.empty());
    EXPECT_EQ(Play(seed), 0);
    for (unsigned round = 0; round < 200; ++round) {
      std::mt19937 random(round);
      std::string bytes = seed;
      for (int i = 0; i < 4; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
      bytes.resize(1 + random() % bytes.size());
      EXPECT_EQ(Play(bytes), 0);
    }
  }
  EXPECT_GE(files, 3);
}

}  // namespace
