// Exit codes of the programs, listed in docs/operating.md.
#pragma once

namespace gorsemount::app {

inline constexpr int kExitSuccess = 0;
inline constexpr int kExitRuleViolated = 1;   // `day`, `simulate`, `replay`: a rule was violated
inline constexpr int kExitInvalidConfig = 2;  // an invalid settings, roster or input file
inline constexpr int kExitCannotListen = 3;
inline constexpr int kExitFailure = 4;         // any other failure
inline constexpr int kExitCommandRefused = 5;  // `ctl`: the command was refused or unknown
inline constexpr int kExitUsageError = 64;     // invalid command line

}  // namespace gorsemount::app
