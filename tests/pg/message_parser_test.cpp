// Parsers of message bodies under damaged input.
#include "src/pg/message_parser.hpp"

#include <gtest/gtest.h>

#include <random>
#include <string>

#include "src/dispatch/outcome.hpp"
#include "src/pg/query_response.hpp"
#include "src/pg/session_command.hpp"
#include "tests/pg/sample_stream.hpp"

namespace tulipyoke::pg {
namespace {

// Guards against any bytes at all that crash a parser or run past the end of what came.
TEST(Parsers, RandomGarbageEndsInAnErrorOrNothing) {
  int refused = 0;
  for (unsigned seed = 0; seed < 2000; ++seed) {
    std::mt19937 random(seed);
    std::string bytes = SampleStream().substr(0, 160);
    for (int i = 0; i < 8; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    MessageReader reader(seed % 5 == 0, 4096);
    QueryResponseReader answer;
    reader.Feed(bytes);
    bool garbage = false;
    while (!garbage) {
      const auto message = reader.Next();
      if (!message) break;
      garbage = !answer.Read(*message).ok();
    }
    if (garbage || reader.error()) ++refused;
    if (!ParseStartup(bytes)) ++refused;
    ParseLoadReport(bytes);
    ParseSessionCommand(bytes);
  }
  EXPECT_GT(refused, 1000);
}

}  // namespace
}  // namespace tulipyoke::pg
