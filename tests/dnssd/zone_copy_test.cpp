// The zone copy: incremental and complete transfers.
#include "src/dnssd/zone_copy.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "standins/dns_zone.hpp"

namespace tulipyoke::dnssd {
namespace {

using standins::DnsZone;
using standins::Published;

constexpr const char* kZone = "derby.example.org";

Published Server(const std::string& label, std::uint16_t port = 7001) {
  return {label, "127.0.0.1", port, {}, 10, ""};
}

// Differences that do not fit leave the copy as it is.
TEST(ZoneCopy, DifferencesGiveTheSameCopyAsACompleteTransfer) {
  DnsZone zone(kZone);
  zone.Publish({Server("a"), Server("b")});
  const auto transfer = [&](RecordType type, std::optional<std::uint32_t> serial) {
    std::vector<Record> records;
    for (const std::string& bytes :
         zone.Answer(0, EncodeQuery(1, {CanonicalName(kZone), type}, serial), true)) {
      const auto message = ParseMessage(bytes);
      records.insert(records.end(), message->answers.begin(), message->answers.end());
    }
    return records;
  };
  const Question browse{"_readings._tcp.derby.example.org.", RecordType::kPtr};
  ZoneCopy copy;
  ASSERT_TRUE(copy.Apply(transfer(RecordType::kAxfr, std::nullopt), 1000));
  std::mt19937 random(5);
  for (int round = 0; round < 60; ++round) {
    const std::string label = "r" + std::to_string(random() % 6);
    if (random() % 2 == 0)
      zone.Publish({Server(label, static_cast<std::uint16_t>(7000 + random() % 3))});
    else
      zone.Withdraw({label});
    if (random() % 3 == 0) continue;  // several at once
    const auto changed = copy.Apply(transfer(RecordType::kIxfr, copy.serial()), 1000);
    ASSERT_TRUE(changed) << round;
    ZoneCopy whole;
    ASSERT_TRUE(whole.Apply(transfer(RecordType::kAxfr, std::nullopt), 1000));
    EXPECT_EQ(copy.size(), whole.size());
    EXPECT_EQ(copy.Get(browse).size(), whole.Get(browse).size());
  }
  const std::optional<std::uint32_t> serial = copy.serial();
  zone.Publish({Server("last")});
  std::vector<Record> records = transfer(RecordType::kIxfr, copy.serial());
  records.erase(records.begin() + 1);  // the SOA of the copy that the differences are for
  EXPECT_FALSE(copy.Apply(records, 1000));
  EXPECT_FALSE(copy.Apply(transfer(RecordType::kAxfr, std::nullopt), 3));
  EXPECT_EQ(copy.serial(), serial);
}

}  // namespace
}  // namespace tulipyoke::dnssd
