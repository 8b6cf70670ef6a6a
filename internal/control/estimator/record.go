package estimator

import "encoding/json"

// Record is the evidence of one key in a shard's summary.
type Record struct {
	Queue string `json:"queue"`
	Image string `json:"image,omitempty"`
	Moments
}

// Records are the records of one summary.
type Records []Record

// UnmarshalJSON decodes the records. One that can't be decoded becomes the zero record, which
// [Records.Valid] counts and all others ignore: the rest of the summary is valid without it.
func (r *Records) UnmarshalJSON(data []byte) error {
	*r = nil
	var list []json.RawMessage
	if json.Unmarshal(data, &list) != nil {
		*r = Records{{}}
		return nil
	}
	for _, item := range list {
		var record Record
		if json.Unmarshal(item, &record) != nil || !record.isValid() {
			record = Record{}
		}
		*r = append(*r, record)
	}
	return nil
}

// Valid returns the records that can be used, and the number of the others.
func (r Records) Valid() (valid Records, invalid int) {
	for i := range r {
		if r[i].isValid() {
			valid = append(valid, r[i])
		}
	}
	return valid, len(r) - len(valid)
}

// Merge returns the evidence of a key in several summaries. Each is aged to the time of
// the newest one.
func Merge(key Key, summaries ...Records) Moments {
	var found []Moments
	newest := int64(0)
	for _, records := range summaries {
		for i := range records {
			if r := &records[i]; r.Queue == key.Queue && r.Image == key.Image && r.isValid() {
				found = append(found, r.Moments)
				newest = max(newest, r.At)
			}
		}
	}
	var merged Moments
	for _, m := range found {
		m.ageTo(newest)
		merged.merge(m)
	}
	return merged
}

// MergeAll returns one record for each key in several summaries, ordered by the first
// occurrence.
func MergeAll(summaries ...Records) Records {
	var out Records
	seen := make(map[Key]bool)
	for _, records := range summaries {
		for i := range records {
			key := Key{records[i].Queue, records[i].Image}
			if seen[key] {
				continue
			}
			seen[key] = true
			if m := Merge(key, summaries...); m.Weight > 0 {
				out = append(out, Record{Queue: key.Queue, Image: key.Image, Moments: m})
			}
		}
	}
	return out
}
