// What the programs return. docs/operating.md lists them.
#pragma once

namespace gorsemount::app {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitRuleViolated = 1;   // `day`: a rule broke
inline constexpr int kExitInvalidConfig = 2;  // a file that can't be used
inline constexpr int kExitCannotListen = 3;
inline constexpr int kExitFailure = 4;         // anything else
inline constexpr int kExitCommandRefused = 5;  // `ctl`: the coordinator refused, or did not understand
inline constexpr int kExitUsageError = 64;     // the command line

}  // namespace gorsemount::app
