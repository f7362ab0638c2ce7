// Which of several sources' records of a server prevails.
#include "src/membership/source_precedence.hpp"

#include <gtest/gtest.h>

namespace tulipyoke::membership {
namespace {

SourceRecord RecordOf(SourceState state, Micros since) { return {state, {}, since}; }

TEST(SourcePrecedence, TheFirstSourceThatAnnouncesIsAuthoritative) {
  const SourceRecords records = {RecordOf(SourceState::kVanished, 9), RecordOf(SourceState::kDraining, 1),
                                 RecordOf(SourceState::kReady, 5)};
  EXPECT_EQ(AuthoritativeRecord(records), &records[1]);
  EXPECT_TRUE(IsAnnouncedByAny(records));
}

TEST(SourcePrecedence, WithoutAnAnnouncementTheLastToVanishIsAuthoritative) {
  const SourceRecords records = {RecordOf(SourceState::kVanished, 1), RecordOf(SourceState::kVanished, 5),
                                 RecordOf(SourceState::kUnknown, 9)};
  EXPECT_EQ(AuthoritativeRecord(records), &records[1]);
  EXPECT_FALSE(IsAnnouncedByAny(records));
  EXPECT_EQ(AuthoritativeRecord({RecordOf(SourceState::kUnknown, 1)}), nullptr);
}

TEST(SourcePrecedence, SourcesConflictWhereOneDrainsWhatAnotherHasInService) {
  EXPECT_TRUE(IsConflicting({RecordOf(SourceState::kReady, 1), RecordOf(SourceState::kVanished, 1)}));
  EXPECT_TRUE(IsConflicting({RecordOf(SourceState::kDraining, 1), RecordOf(SourceState::kReady, 1)}));
  EXPECT_FALSE(IsConflicting({RecordOf(SourceState::kReady, 1), RecordOf(SourceState::kUnknown, 1)}));
  EXPECT_FALSE(IsConflicting({RecordOf(SourceState::kDraining, 1), RecordOf(SourceState::kVanished, 1)}));
}

}  // namespace
}  // namespace tulipyoke::membership
