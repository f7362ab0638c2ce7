// Maps one accepted text of a setting to its value.
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
