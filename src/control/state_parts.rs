use {
    super::State,
    crate::wire::peer::{StateAnswer, StateRequest},
    bytes::Bytes,
};

/// Most bytes of one part of the state.
const STATE_PART_BYTES: usize = 256 * 1024;

/// The image that daemons read in parts, with its index.
#[derive(Default)]
pub(super) struct StateParts {
    image: Option<(u64, Bytes)>,
}

impl StateParts {
    /// Returns the part that is asked for. An image that is no longer kept starts anew.
    pub fn part(&mut self, state: &State, req: &StateRequest) -> StateAnswer {
        if req.image == 0 || self.image.as_ref().is_none_or(|(index, _)| *index != req.image) {
            self.image = Some((state.applied(), state.to_image().into()));
        }
        let Some((image, bytes)) = &self.image else {
            return StateAnswer::default();
        };
        let offset = if *image == req.image {
            (req.offset as usize).min(bytes.len())
        } else {
            0
        };
        let end = (offset + STATE_PART_BYTES).min(bytes.len());
        StateAnswer {
            image: *image,
            offset: offset as u64,
            total: bytes.len() as u64,
            part: bytes.slice(offset..end),
            declined: false,
        }
    }
}
