// Parsers of message bodies with corrupted input.
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

// Guards against input that crashes a parser or makes it read past the end of the input.
TEST(MessageParsers, CorruptedBytesGiveAnErrorOrNoMessage) {
  int error_count = 0;
  for (unsigned seed = 0; seed < 2000; ++seed) {
    std::mt19937 random(seed);
    std::string bytes = SampleStream().substr(0, 160);
    for (int i = 0; i < 8; ++i) bytes[random() % bytes.size()] = static_cast<char>(random());
    MessageReader reader(seed % 5 == 0, 4096);
    QueryResponseReader response;
    reader.Feed(bytes);
    bool malformed = false;
    while (!malformed) {
      const auto message = reader.Next();
      if (!message) break;
      malformed = !response.Read(*message).ok();
    }
    if (malformed || reader.error()) ++error_count;
    if (!ParseStartup(bytes)) ++error_count;
    ParseLoadReport(bytes);
    ParseSessionCommand(bytes);
  }
  EXPECT_GT(error_count, 1000);
}

}  // namespace
}  // namespace tulipyoke::pg
