#pragma once

/// Everything that an embedding program needs to make the same decisions as the daemon, without I/O, threads
/// or a clock.

#include "chestnutsill/fwd.h"
#include "chestnutsill/policy/answer.h"
#include "chestnutsill/policy/configuration.h"
#include "chestnutsill/policy/fairqueue.h"
#include "chestnutsill/policy/forecastpacer.h"
#include "chestnutsill/policy/hash.h"
#include "chestnutsill/policy/instant.h"
#include "chestnutsill/policy/ledger.h"
#include "chestnutsill/policy/peertypes.h"
#include "chestnutsill/policy/placement.h"
#include "chestnutsill/policy/pool.h"
#include "chestnutsill/policy/pooltypes.h"
#include "chestnutsill/policy/requestid.h"
#include "chestnutsill/policy/retrybudget.h"
#include "chestnutsill/policy/suspects.h"
#include "chestnutsill/policy/verdict.h"
#include "chestnutsill/policy/versionguard.h"
