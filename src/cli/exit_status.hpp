// Exit statuses of the program.
#ifndef TULIPYOKE_SRC_CLI_EXIT_STATUS_HPP_
#define TULIPYOKE_SRC_CLI_EXIT_STATUS_HPP_

namespace tulipyoke::cli {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitIncomplete = 2;  // not every zone was reported before the time ended

}  // namespace tulipyoke::cli

#endif  // TULIPYOKE_SRC_CLI_EXIT_STATUS_HPP_
