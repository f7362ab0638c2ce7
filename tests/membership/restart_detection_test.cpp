// Tests which announcements are taken as a restart of the server's process.
#include "src/membership/restart_detection.hpp"

#include <gtest/gtest.h>

#include <string>

namespace tulipyoke::membership {
namespace {

constexpr Micros kNow = 1'700'000'000'000'000;
constexpr std::int64_t kNowMs = kNow / 1000;

SourceRecord MakeRecord(const std::string& address, std::int64_t start_ms) {
  SourceRecord record;
  record.state = SourceState::kReady;
  record.listed.address = address;
  record.listed.started_unix_ms = start_ms;
  record.since = kNow;
  return record;
}

TEST(RestartDetection, TheFirstAnnouncementIsNotARestart) {
  SourceRecords records = {MakeRecord("a:1", 1000)};
  ProcessIdentity process;
  const ProcessChange change = DetectRestart(kNow, records, 0, SourceState::kUnknown, process);
  EXPECT_FALSE(change.restarted);
  EXPECT_FALSE(change.moved);
  EXPECT_EQ(process.address, "a:1");
  EXPECT_EQ(process.start_ms, 1000);
}

TEST(RestartDetection, ALaterStartTimeDiscardsRecordsOfThePreviousProcess) {
  SourceRecords records = {MakeRecord("a:1", kNowMs), MakeRecord("a:1", 1000)};
  records[1].state = SourceState::kVanished;
  records[1].since = kNow - 1;
  ProcessIdentity process{"a:1", 1000, 1000};
  EXPECT_TRUE(DetectRestart(kNow, records, 0, SourceState::kReady, process).restarted);
  EXPECT_EQ(process.start_ms, kNowMs);
  EXPECT_EQ(records[1].state, SourceState::kUnknown);
}

TEST(RestartDetection, OnlyRecordsNotNewerThanTheStartAreDiscarded) {
  SourceRecords records = {MakeRecord("a:1", kNowMs), MakeRecord("a:1", 1000), MakeRecord("a:1", 1000)};
  records[1].state = SourceState::kVanished;
  records[1].since = kNow;
  records[2].state = SourceState::kVanished;
  records[2].since = kNow + 1;
  ProcessIdentity process{"a:1", 1000, 1000};
  DetectRestart(kNow, records, 0, SourceState::kReady, process);
  EXPECT_EQ(records[1].state, SourceState::kUnknown);
  EXPECT_EQ(records[2].state, SourceState::kVanished);
}

TEST(RestartDetection, AChangedAddressMeansAProcessThatStartedNow) {
  SourceRecords records = {MakeRecord("a:2", 1000)};
  ProcessIdentity process{"a:1", 1000, 1000};
  const ProcessChange change = DetectRestart(kNow, records, 0, SourceState::kReady, process);
  EXPECT_TRUE(change.restarted);
  EXPECT_TRUE(change.moved);
  EXPECT_EQ(process.start_ms, kNowMs);
}

TEST(RestartDetection, AReturnIsARestartOnlyWithoutAStartTime) {
  SourceRecords records = {MakeRecord("a:1", 1000)};
  ProcessIdentity process{"a:1", 1000, 1000};
  EXPECT_FALSE(DetectRestart(kNow, records, 0, SourceState::kVanished, process).restarted);
  records[0].listed.started_unix_ms = 0;
  EXPECT_TRUE(DetectRestart(kNow, records, 0, SourceState::kVanished, process).restarted);
}

}  // namespace
}  // namespace tulipyoke::membership
