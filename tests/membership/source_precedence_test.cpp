// Tests which source's record of a server is authoritative.
#include "src/membership/source_precedence.hpp"

#include <gtest/gtest.h>

namespace tulipyoke::membership {
namespace {

SourceRecord MakeRecord(SourceState state, Micros since) { return {state, {}, since}; }

TEST(SourcePrecedence, TheFirstSourceThatAnnouncesIsAuthoritative) {
  const SourceRecords records = {MakeRecord(SourceState::kVanished, 9), MakeRecord(SourceState::kDraining, 1),
                                 MakeRecord(SourceState::kReady, 5)};
  EXPECT_EQ(AuthoritativeRecord(records), &records[1]);
  EXPECT_TRUE(IsAnnouncedByAny(records));
}

TEST(SourcePrecedence, WithoutAnAnnouncementTheLastVanishedRecordIsAuthoritative) {
  const SourceRecords records = {MakeRecord(SourceState::kVanished, 1), MakeRecord(SourceState::kVanished, 5),
                                 MakeRecord(SourceState::kUnknown, 9)};
  EXPECT_EQ(AuthoritativeRecord(records), &records[1]);
  EXPECT_FALSE(IsAnnouncedByAny(records));
  EXPECT_EQ(AuthoritativeRecord({MakeRecord(SourceState::kUnknown, 1)}), nullptr);
}

TEST(SourcePrecedence, SourcesConflictIfOneDrainsAServerThatAnotherHasInService) {
  EXPECT_TRUE(IsConflicting({MakeRecord(SourceState::kReady, 1), MakeRecord(SourceState::kVanished, 1)}));
  EXPECT_TRUE(IsConflicting({MakeRecord(SourceState::kDraining, 1), MakeRecord(SourceState::kReady, 1)}));
  EXPECT_FALSE(IsConflicting({MakeRecord(SourceState::kReady, 1), MakeRecord(SourceState::kUnknown, 1)}));
  EXPECT_FALSE(IsConflicting({MakeRecord(SourceState::kDraining, 1), MakeRecord(SourceState::kVanished, 1)}));
}

}  // namespace
}  // namespace tulipyoke::membership
