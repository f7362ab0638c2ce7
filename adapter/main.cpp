// Simulator adapter: reads batches from standard input and writes a reply to each one to standard output,
// until the end of input. After an error it prints one line to standard error and exits with status 1.
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

// Fills `bytes` from standard input and returns the number of bytes read, which is smaller at the end of
// input.
std::size_t ReadStdin(std::string& bytes) { return std::fread(bytes.data(), 1, bytes.size(), stdin); }

bool WriteReply(const std::string& reply) {
  const std::size_t written = std::fwrite(reply.data(), 1, reply.size(), stdout);
  return written == reply.size() && std::fflush(stdout) == 0;
}

int Run() {
  wire::RouterInstances instances;
  std::string header_bytes(wire::kBatchHeaderSize, '\0');
  std::string body;
  for (;;) {
    const std::size_t received = ReadStdin(header_bytes);
    if (received == 0) return kSuccess;
    if (received < header_bytes.size()) return ReportFailure("input ends inside the header of a batch");

    const wire::Decoded<wire::BatchHeader> decoded = wire::DecodeBatchHeader(header_bytes);
    if (const auto* error = std::get_if<wire::FormatError>(&decoded)) return ReportFailure(ToString(*error));
    const auto& header = std::get<wire::BatchHeader>(decoded);

    body.resize(header.body_size);
    if (ReadStdin(body) < body.size()) return ReportFailure("input ends inside the body of a batch");

    const wire::Decoded<std::string> reply = instances.HandleBatch(header, body);
    if (const auto* error = std::get_if<wire::FormatError>(&reply)) return ReportFailure(ToString(*error));
    if (!WriteReply(std::get<std::string>(reply)))
      return ReportFailure("cannot write the reply to standard output");
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
