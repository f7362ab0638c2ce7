// The router as a program.
#include <malloc.h>

#include "src/cli/commands.hpp"

int main(int argc, char** argv) {
  // Large statements are given back to the system when they are through: memory is scarce.
  mallopt(M_MMAP_THRESHOLD, 128 << 10);
  return tulipyoke::cli::Main(argc, argv);
}
