// A stream of server messages that several tests of the codec use.
#ifndef TULIPYOKE_TESTS_PG_SAMPLE_STREAM_HPP_
#define TULIPYOKE_TESTS_PG_SAMPLE_STREAM_HPP_

#include <string>

#include "src/pg/message_writer.hpp"

namespace tulipyoke::pg {

inline std::string SampleStream() {
  std::string bytes;
  AppendAuthenticationOk(bytes);
  AppendParameterStatus(bytes, "replication_role", "standby");
  AppendError(bytes, "ERROR", "53300", "full", "250");
  AppendDataRow(bytes, std::string("\0\xff'x", 4));
  AppendMessage(bytes, 'C', std::string(70000, 'c'));
  AppendReadyForQuery(bytes);
  return bytes;
}
}  // namespace tulipyoke::pg

#endif  // TULIPYOKE_TESTS_PG_SAMPLE_STREAM_HPP_
