package manager

import "dotterelcart.dev/dotterelcart/internal/job/dispatcher"

// countReservations counts reservations of room by outcome.
func (m *metrics) countReservations(e dispatcher.ReportReservations) {
	for outcome, n := range map[string]int{
		"made": e.Made, "met": e.Met, "dropped": e.Dropped, "unpredictable": e.Unpredictable,
	} {
		m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("room_reservations").Inc(int64(n))
	}
	m.scope.Counter("backfilled_starts").Inc(int64(e.Backfilled))
}
