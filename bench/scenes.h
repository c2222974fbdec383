#pragma once

#include "callers.h"
#include "workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chestnutsill::bench {

/// Figures of one run of one scene.
struct SceneResult
{
    Outcomes outcomes;
    /// Tokens that engines generated, and falls of cold engines, by their own counts.
    std::int64_t generated = 0;
    std::int64_t coldOverloads = 0;
    /// Runs of requests that may not be repeated beyond the first of each id.
    std::int64_t doubledRuns = 0;
    /// Starts in the zone that was out, from 3 s after it went out until it returned.
    std::int64_t startsInOutZone = 0;
    double seconds = 0;

    /// Tokens that reached no caller as part of a whole answer, as a share of those generated.
    [[nodiscard]] double wastedShare() const;

    /// Tokens, a second, of whole answers whose first token came in time.
    [[nodiscard]] double goodput() const;
};

/// Names of all scenes.
[[nodiscard]] std::vector<std::string> sceneNames();

/// Runs one scene against this system or the baseline.
[[nodiscard]] SceneResult runScene(const std::string &scene, const Deployment &deployment, bool baseline,
                                   std::uint64_t seed, double seconds);

} // namespace chestnutsill::bench
