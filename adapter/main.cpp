// Reads batches on standard input and writes one reply to each on standard output, until input ends.
#include <cstdio>
#include <exception>
#include <string>

#include "adapter/codec.hpp"
#include "adapter/instances.hpp"

namespace {

std::size_t ReadUpTo(std::string& bytes) { return std::fread(bytes.data(), 1, bytes.size(), stdin); }

int Run() {
  tulipyoke::wire::Instances instances;
  std::string head(tulipyoke::wire::kBatchHeaderSize, '\0');
  std::string body;
  for (;;) {
    const std::size_t got = ReadUpTo(head);
    if (got == 0) return 0;
    if (got < head.size()) throw tulipyoke::wire::FormatError("input ends within a batch's header");
    const tulipyoke::wire::BatchHeader header = tulipyoke::wire::ParseBatchHeader(head);
    body.resize(header.body_size);
    if (ReadUpTo(body) < body.size()) throw tulipyoke::wire::FormatError("input ends within a batch");
    const std::string reply = instances.HandleBatch(header, body);
    if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
      throw tulipyoke::wire::FormatError("the reply cannot be written");
    }
  }
}

}  // namespace

int main() {
  try {
    return Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "tulipyoke_adapter: %s\n", error.what());
    return 1;
  }
}
