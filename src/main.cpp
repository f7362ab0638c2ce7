// Entry point of the router.
#include <malloc.h>

#include "src/cli/command_line.hpp"

namespace {

// malloc maps larger blocks, such as large statements, separately, so that freeing them returns the memory to
// the system at once: memory is scarce.
constexpr int kMmapThresholdBytes = 128 << 10;

}  // namespace

int main(int argc, char** argv) {
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  return tulipyoke::cli::Main(argc, argv);
}
