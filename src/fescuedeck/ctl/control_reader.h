// Reads and appends to the control stream with repeats until a deadline.
#ifndef FESCUEDECK_CTL_CONTROL_READER_H
#define FESCUEDECK_CTL_CONTROL_READER_H

#include <cstdint>
#include <vector>

#include "fescuedeck/control/control_record.h"
#include "fescuedeck/control/control_state.h"
#include "fescuedeck/ctl/ctl_hooks.h"

namespace fescuedeck {

// Folds the stream to its end. The error is LogUnavailable. Where the log dropped records that no
// checkpoint restates, goes on without them.
result<void> readToEnd(const ctl_hooks &hooks, control_state &state, time_point deadline);

// Gives each body a record id and appends all at once. Repeats the append with the same ids until
// it is answered, since an append whose answer is lost may have been stored. The error is
// LogUnavailable, after which the records may still take effect, or the log's refusal.
result<std::vector<std::int64_t>> appendRecords(const ctl_hooks &hooks,
                                                const std::vector<control_record> &bodies,
                                                time_point deadline);

} // namespace fescuedeck

#endif
