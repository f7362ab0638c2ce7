// Simulator adapter: reads batches on standard input and writes one reply to each on standard output, until
// input ends. Input that cannot be decoded ends the process with status 1 and one line on standard error.
#include <cstddef>
#include <cstdio>
#include <exception>
#include <string>
#include <variant>

#include "adapter/batch_decoder.hpp"
#include "adapter/format_error.hpp"
#include "adapter/router_instances.hpp"
#include "adapter/wire_format.hpp"

namespace {

namespace wire = tulipyoke::wire;

constexpr int kSuccess = 0;
constexpr int kFailure = 1;

int ReportFailure(const std::string& reason) {
  std::fprintf(stderr, "tulipyoke_adapter: %s\n", reason.c_str());
  return kFailure;
}

// Fills `bytes` from standard input and returns how many bytes there were.
std::size_t ReadInto(std::string& bytes) { return std::fread(bytes.data(), 1, bytes.size(), stdin); }

bool WriteReply(const std::string& reply) {
  const std::size_t written = std::fwrite(reply.data(), 1, reply.size(), stdout);
  return written == reply.size() && std::fflush(stdout) == 0;
}

int Run() {
  wire::RouterInstances instances;
  std::string header_bytes(wire::kBatchHeaderSize, '\0');
  std::string body;
  for (;;) {
    const std::size_t received = ReadInto(header_bytes);
    if (received == 0) return kSuccess;
    if (received < header_bytes.size()) return ReportFailure("input ends within a batch's header");

    const wire::Decoded<wire::BatchHeader> decoded = wire::DecodeBatchHeader(header_bytes);
    if (const auto* error = std::get_if<wire::FormatError>(&decoded)) return ReportFailure(ToString(*error));
    const auto& header = std::get<wire::BatchHeader>(decoded);

    body.resize(header.body_size);
    if (ReadInto(body) < body.size()) return ReportFailure("input ends within a batch");

    const wire::Decoded<std::string> reply = instances.HandleBatch(header, body);
    if (const auto* error = std::get_if<wire::FormatError>(&reply)) return ReportFailure(ToString(*error));
    if (!WriteReply(std::get<std::string>(reply))) return ReportFailure("the reply cannot be written");
  }
}

}  // namespace

int main() {
  try {
    return Run();
  } catch (const std::exception& error) {
    return ReportFailure(error.what());
  }
}
