// What the programs return. docs/operating.md lists them.
#pragma once

namespace gorsemount::app {

inline constexpr int kWell = 0;
inline constexpr int kRuleBroken = 1;   // `day`: a rule broke
inline constexpr int kBadSettings = 2;  // a file that can't be used
inline constexpr int kCannotListen = 3;
inline constexpr int kFailed = 4;       // anything else
inline constexpr int kRefused = 5;      // `ctl`: the coordinator refused, or did not understand
inline constexpr int kBadCommand = 64;  // the command line

}  // namespace gorsemount::app
