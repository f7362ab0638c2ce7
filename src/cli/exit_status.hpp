// The statuses that the program exits with.
#ifndef TULIPYOKE_SRC_CLI_EXIT_STATUS_HPP_
#define TULIPYOKE_SRC_CLI_EXIT_STATUS_HPP_

namespace tulipyoke::cli {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitIncomplete = 2;  // a zone was not reported in the time that there was for it

}  // namespace tulipyoke::cli

#endif  // TULIPYOKE_SRC_CLI_EXIT_STATUS_HPP_
