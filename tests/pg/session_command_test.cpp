// Recognition of the statements that the router answers itself.
#include "src/pg/session_command.hpp"

#include <gtest/gtest.h>

namespace tulipyoke::pg {
namespace {

TEST(SessionCommand, IsRecognizedByItsFirstWord) {
  EXPECT_EQ(ParseSessionCommand("  ;\n"), SessionCommand::kEmpty);
  EXPECT_EQ(ParseSessionCommand("set x to 1"), SessionCommand::kSet);
  EXPECT_EQ(ParseSessionCommand("Reset ALL;"), SessionCommand::kReset);
  EXPECT_EQ(ParseSessionCommand("DISCARD ALL"), SessionCommand::kDiscard);
  EXPECT_EQ(ParseSessionCommand("SETTLE"), SessionCommand::kNone);
}

}  // namespace
}  // namespace tulipyoke::pg
