// One of the texts that a setting can have, and the value that it stands for.
#ifndef TULIPYOKE_SRC_CONFIG_CHOICE_HPP_
#define TULIPYOKE_SRC_CONFIG_CHOICE_HPP_

#include <string_view>

namespace tulipyoke {

template <typename T>
struct Choice {
  std::string_view name;
  T value;
};

}  // namespace tulipyoke

#endif  // TULIPYOKE_SRC_CONFIG_CHOICE_HPP_
