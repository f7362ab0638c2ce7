// The router as a program.
#include <malloc.h>

#include "src/cli/command_line.hpp"

namespace {

// Bytes. Larger blocks, such as large statements, are mapped by themselves, so that freeing them gives the
// memory back to the system: memory is scarce.
constexpr int kMmapThreshold = 128 << 10;

}  // namespace

int main(int argc, char** argv) {
  mallopt(M_MMAP_THRESHOLD, kMmapThreshold);
  return tulipyoke::cli::Main(argc, argv);
}
